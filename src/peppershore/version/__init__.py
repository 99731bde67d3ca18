"""Values of one configuration version: tree, resolved settings, snapshot, update."""
