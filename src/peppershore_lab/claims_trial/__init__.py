"""Trial of "runs at most once": resent payouts while processes of every role fail."""
