"""Typed messages on the links between the system's own processes, by sender.

One frame carries one message, encoded as a MessagePack array whose first item
is the integer tag. Tags are never reused. Ranges: 1-19 ``session``, 20-39 ``node``,
40-49 ``endpoints``, 50-69 ``relay``, 70-89 ``consensus``, 90-119 ``operators``,
120-139 ``claims``, 140-159 ``calls``, 160-169 ``crashes``, 170-173 ``quotas``.
The messages of ``rollouts`` have the tags 28, 56 and 84, in the ranges of ``node``,
``relay`` and ``consensus``.
"""
