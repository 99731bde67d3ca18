Feature: A change that must wait says so

  Scenario: A route points at a service with nobody ready
    Given a cluster of 1 replica and 1 relay
    And 2 proxies of kassa and 0 proxies of kuitti
    When an operator routes the calls of kassa to kuitti
    Then status says that a proxy of kassa waits for a ready endpoint of kuitti
    And every proxy of kassa holds that version
