"""Example settings files, one for each role; a test loads all of them."""

from __future__ import annotations

import re

_TLS = """
# Mutual TLS between processes (`peppershore keys make`); leave out for a trial.
# [tls]
# certificate = "keys/NAME.pem"      # key and certificate in one file
# key = "keys/NAME.pem"
# authority = "keys/authority.crt"
"""

_QUOTAS = """
# [quotas]                         # count limits of tenants over all nodes together
# window_seconds = 5.0             # in any window (rate x window + burst),
# overshoot = 0.1                  # so much more of it (0 to 1),
# slack = 20.0                     # and so many more calls
"""

_CONTROL = """\
# A control replica: keeps the accepted changes and serves operators and relays.
cluster = "refund-network"         # the same in every process of one cluster
replica = "control-1"              # this replica's name; one of the replicas below
listen = "127.0.0.1:7001"          # links of replicas, relays and operators
data_folder = "data/control-1"     # on a disk of this machine
admin_listen = "127.0.0.1:7901"    # /metrics, /healthz, /readyz, /status; "" for none
join = false                       # true: wait to be added by `peppershore replica add`
heartbeat_milliseconds = 50        # leader to followers
election_milliseconds = 400        # silence after which a follower asks for votes
snapshot_entries = 2000            # log entries between snapshots
change_id_horizon = 20000          # changes whose outcome a resend still gets
wanted_voters = 0                  # above 0: the group keeps its membership itself
seeds = []                         # then: addresses where others may be
rollout_exposure_share = 0.1       # part of a service's calls a bad version may get
apply_milliseconds = 2000.0        # nodes use a change within this time
log_level = "info"                 # debug, info, warning or error
log_to = "standard-error"          # or standard-output: bounded, never blocks

[[replicas]]                       # the first members, this one included
name = "control-1"
address = "127.0.0.1:7001"
"""

_HUB = """\
# A hub: a control replica and a relay in one process, for sites of few machines.
cluster = "refund-network"         # the same in every process of one cluster
host = "127.0.0.1"                 # this machine's IP number
zone = "pasila"                    # nodes of this zone come here first
replica_port = 7001                # links of replicas; the same on every hub
relay_port = 7101                  # links of nodes and relays; the same on every hub
api_listen = "127.0.0.1:7801"      # GET and PUT /configuration for operators
data_folder = "data/hub-1"         # on a disk of this machine
seeds = ["127.0.0.1:7801"]         # IP numbers where hubs may be; ports do not count
first_start = true                 # true only at the cluster's very first start
tolerated_losses = 1               # machines that may be lost at once; 2n + 1 vote
admin_listen = ""                  # /metrics, /healthz, /readyz; "" for none
heartbeat_milliseconds = 50        # leader to followers
election_milliseconds = 400        # silence after which a follower asks for votes
freshness_milliseconds = 500       # between words to nodes of how fresh they are
stale_after_milliseconds = 2000    # confirmation older than this: not ready
link_report_milliseconds = 0       # how often a line tells of its bytes; 0: never
rollout_exposure_share = 0.1       # part of a service's calls a bad version may get
apply_milliseconds = 2000.0        # nodes use a change within this time
log_level = "info"                 # debug, info, warning or error
log_to = "standard-error"          # or standard-output: bounded, never blocks
"""

_RELAY = """\
# A relay: follows a control replica and serves the nodes of its zone.
cluster = "refund-network"         # the same in every process of one cluster
relay = "relay-1"                  # this relay's name
zone = "pasila"                    # nodes of this zone come here first
listen = "127.0.0.1:7101"          # links of nodes and other relays
admin_listen = "127.0.0.1:7911"    # /metrics, /healthz, /readyz; "" for none
batching_milliseconds = 0          # collect changes this long: fewer bytes, later in force
freshness_milliseconds = 2000      # between confirmations by a quorum
stale_after_milliseconds = 6000    # confirmation older than this: not ready
hellos_per_second = 3000           # nodes admitted; others are told when to come back
lists_relays = false               # true: tell nodes which relays there are
hold_milliseconds = 3000           # a changed route waits this long for a ready back end
log_level = "info"                 # debug, info, warning or error
log_to = "standard-error"          # or standard-output: bounded, never blocks

[[replicas]]                       # every control replica
name = "control-1"
address = "127.0.0.1:7001"

[[relays]]                         # every other relay
name = "relay-2"
zone = "keilaniemi"
address = "127.0.0.1:7102"
"""

_NODE = """\
# A node: the proxy beside one back end, or at the edge (no backend).
cluster = "refund-network"         # the same in every process of one cluster
node = "kassa-1"                   # this node's name, no other node's
service = "kassa"                  # the service of the back end beside it
zone = "pasila"                    # where it runs
listen = "127.0.0.1:7201"          # HTTP/1.1 of callers
internal_listen = "127.0.0.1:7301" # calls from other nodes; needed with a backend
backend = "127.0.0.1:7401"         # the back end; "" at the edge
slots = 20                         # calls the back end runs at once
connections = 130                  # connections the back end takes
data_folder = "data/kassa-1"       # keeps the version floor; "" without a disk
admin_listen = "127.0.0.1:7921"    # /metrics, /healthz, /readyz, /configuration
stop_bound_milliseconds = 30000    # longest wait for calls in flight at a planned stop
stop_grace_seconds = 0.0           # when a supervisor kills; above 0 it sets that bound
link_megabits = 0.0                # what the machine's link carries; 0: wide enough
link_report_milliseconds = 0       # how often a line tells of its bytes; 0: never
rebalance_milliseconds = 60000     # how often to look for a better relay
reconnect_milliseconds = 4000      # longest wait before another relay is tried
silence_milliseconds = 4000        # a relay that says nothing for so long is left
stale_milliseconds = 0             # a relay not confirmed for so long is left; 0: by apply
apply_milliseconds = 5000.0        # changes are in force by then
take_over = false                  # listen beside a node that is about to stop
forward_unclaimed_keys = false     # without claims: send keyed calls on all the same
log_level = "info"                 # debug, info, warning or error
log_to = "standard-error"          # or standard-output: bounded, never blocks

seeds = []                         # IP:port of hubs, in place of relays
relay_port = 0                     # with seeds: the port of relays on every hub
back_end_listen = ""               # where the back end reports itself; "" probes it
back_end_silent_milliseconds = 8000  # a back end that reports nothing so long is gone
back_end_leaving_milliseconds = 1000  # calls a leaving back end is still given
drain_milliseconds = 0.0           # how long a leaving one serves on; 0: not told
rate_limit_apply_milliseconds = 3000.0  # a back end's own rate limit applies within it
log_answered_every = 0             # of answered calls each n-th is logged; 0: none
metrics_listen = ""                # one more address for the admin pages
seek_free_slots = false            # ask owners for a free slot before waiting for one
waits_at_owners = 1                # where a call waits, one by one, sharing its patience
revocation_milliseconds = 5000.0   # a key that was taken away is of no use by then
fail_closed = false                # true: an older configuration admits nobody by a key

[[relays]]                         # relays to choose from
name = "relay-1"
zone = "pasila"
address = "127.0.0.1:7101"

# [headers]                        # names of header fields of your own
# request_id = "x-call-id"         # see request/wire_names.py for all of them
# deadline = "x-deadline-milliseconds"

# [shared_retries]                 # repeats that all nodes together may make
# ratio = 0.2                      # so many of the calls in a window (0 to 1),
# window_seconds = 10.0
# slack = 60                       # and so many more

# [[claims]]                       # replicas of the claims group, if one runs
# name = "claims-1"
# address = "127.0.0.1:7501"

# [[claims_groups]]                # instead of claims: several groups share the keys
# name = "first"
# [[claims_groups.replicas]]
# name = "claims-1"
# address = "127.0.0.1:7501"

# [[previous_claims_groups]]       # groups that are being left, for a horizon
# name = "first"
# [[previous_claims_groups.replicas]]
# name = "claims-1"
# address = "127.0.0.1:7501"
"""

_CLAIMS = """\
# A claims replica: remembers the calls that may run only once.
cluster = "refund-network"         # the same in every process of one cluster
replica = "claims-1"               # this replica's name; one of the replicas below
listen = "127.0.0.1:7501"          # links of replicas and nodes
data_folder = "data/claims-1"      # on a disk of this machine
admin_listen = "127.0.0.1:7931"    # /metrics, /healthz, /readyz; "" for none
join = false                       # true: wait to be added to the group
heartbeat_milliseconds = 50        # leader to followers
election_milliseconds = 400        # silence after which a follower asks for votes
snapshot_entries = 20000           # log entries between snapshots
horizon_seconds = 86400            # how long an idempotency key is remembered
max_records = 500000               # keys remembered at most; more are refused
max_answer_megabytes = 64          # kept answers in all; the oldest go first
log_level = "info"                 # debug, info, warning or error
log_to = "standard-error"          # or standard-output: bounded, never blocks

[[replicas]]                       # the first members, this one included
name = "claims-1"
address = "127.0.0.1:7501"
"""

_OPERATOR = """\
# The command line: `--settings FILE` on a command, or PEPPERSHORE_SETTINGS.
replicas = ["127.0.0.1:7001"]      # control replicas; the leader is found by itself
timeout_milliseconds = 10000       # how long a command keeps trying
author = "anna"                    # shown in the history; default: your login
"""

_RELAY_TLS = """
# [relay_tls]                      # the same for the relay inside a hub
# certificate = "keys/RELAY.pem"
# key = "keys/RELAY.pem"
# authority = "keys/authority.crt"
"""

EXAMPLES: dict[str, str] = {
    "control": _CONTROL + _QUOTAS + _TLS,
    "hub": _HUB + _QUOTAS + _TLS + _RELAY_TLS,
    "relay": _RELAY + _QUOTAS + _TLS,
    "node": _NODE + _QUOTAS + _TLS,
    "claims": _CLAIMS + _TLS,
    "operator": _OPERATOR + _TLS,
}
"""Text of the example settings file by role."""

_MEANING = re.compile(r"^(?:# )?(?:\[{1,2})?(\w+)(?:\]{1,2}| = .*?) +# (.*)$", re.MULTILINE)


def meanings(role: str) -> dict[str, str]:
    """Return the meaning of each setting of a role, taken from its example's comments."""
    return dict(_MEANING.findall(EXAMPLES[role]))
