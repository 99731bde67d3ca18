Feature: Edits take effect while processes die

  Scenario: The leading replica is killed
    Given a cluster of 3 replicas and 1 relay
    And 2 proxies of kassa and 0 proxies of kuitti
    When the leader is killed
    And an operator sets the timeout to 700
    Then every proxy of kassa holds that version
    And the killed replica catches up after its restart

  Scenario: A relay is killed and another falls silent
    Given a cluster of 1 replica and 3 relays
    And 2 proxies of kassa and 0 proxies of kuitti
    When the relay of kassa-1 is killed
    And an operator sets the timeout to 700
    Then every proxy of kassa holds that version
    When the relay of kassa-1 is cut off in silence
    And an operator sets the timeout to 800
    Then every proxy of kassa holds that version

  Scenario: A proxy that lost its memory meets a relay that is behind
    Given a cluster of 1 replica and 2 relays
    And 1 proxy of kassa without a disk
    When the relay of kassa-1 is cut off in silence
    And an operator sets the timeout to 700
    Then every proxy of kassa holds that version
    When every process but the silent relay is killed
    And the silent relay goes on
    And kassa-1 starts again without memory
    Then kassa-1 takes nothing from the relay that is behind
    When the replicas and relays start again
    Then every proxy of kassa holds that version

  Scenario: The whole control group is down
    Given a cluster of 1 replica and 1 relay
    And 1 proxy of kassa and 0 proxies of kuitti
    When every replica and relay is killed
    Then calls to kassa are answered by kassa
    When the replicas and relays start again
    And an operator sets the timeout to 700
    Then every proxy of kassa holds that version
