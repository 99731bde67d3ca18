Feature: A planned stop cuts no request

  Scenario: Processes of every role are stopped one after another under calls
    Given a cluster of 3 replicas and 2 relays
    And 2 proxies of kassa and 0 proxies of kuitti
    And callers that call kassa-1 all the time
    When the leader is stopped in a planned way
    And the relay of kassa-1 is stopped in a planned way
    And kassa-2 is stopped in a planned way
    Then no call was cut or refused

  Scenario: A proxy is stopped with a call in flight
    Given a cluster of 1 replica and 1 relay
    And 1 proxy of kassa and 0 proxies of kuitti
    When kassa-1 is stopped in a planned way while a call runs
    Then the call gets its whole answer
    And the process ends with code 0

  Scenario: A relay is stopped and its proxies are handed over
    Given a cluster of 1 replica and 3 relays
    And 2 proxies of kassa and 0 proxies of kuitti
    And callers that call kassa-1 all the time
    When the relay of kassa-1 is stopped in a planned way
    And an operator sets the timeout to 700
    Then every proxy of kassa holds that version
    And no proxy was ever without a relay
