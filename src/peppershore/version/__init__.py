"""What lives for one version: tree, resolved settings, snapshot, update."""
