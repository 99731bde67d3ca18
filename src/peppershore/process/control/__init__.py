"""The control replica: accepts edits, keeps the tree, serves relays and operators."""
