Feature: Operators edit the tree and the change takes effect everywhere

  Scenario: An edit reaches every proxy and a call follows it
    Given a cluster of 1 replica and 1 relay
    And 2 proxies of kassa and 1 proxy of kuitti
    And calls to kassa are answered by kassa
    When an operator routes the calls of kassa to kuitti
    Then every proxy of kassa holds that version
    And the operator's watch tells that it is in force
    And calls to kassa are answered by kuitti
    And explain names the edited node of the tree as the origin

  Scenario: Of two operators who saw the same revision one wins
    Given a cluster of 3 replicas and 1 relay
    And 1 proxy of kassa and 0 proxies of kuitti
    When two operators set the timeout at the same time with equal revisions
    Then one edit is accepted and the other is a conflict that names the winner
    And the timeout is the winner's

  Scenario: A change resent after its answer was lost gives the first outcome
    Given a cluster of 3 replicas and 1 relay
    And 1 proxy of kassa and 0 proxies of kuitti
    When a change is sent and its answer is lost
    And another operator changes the same setting
    And the leader is killed
    And the change is sent again with its change id
    Then it has its first outcome and did not run again

  Scenario: A change that would break a proxy is refused whole
    Given a cluster of 1 replica and 1 relay
    And 1 proxy of kassa and 0 proxies of kuitti
    When an operator sends one edit with a good and a dangling setting
    Then the edit is refused and nothing of it is in the tree or on a proxy
