"""The control replica: accepts edits, stores the tree, serves relays and operators."""
