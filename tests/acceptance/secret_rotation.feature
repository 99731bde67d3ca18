Feature: A secret is rotated without a refused call

  Scenario: Signers wait until every verifier holds the new key
    Given a cluster of 1 replica and 1 relay
    And 2 proxies of kassa and 0 proxies of kuitti
    And calls to kassa need a member's token
    And members that call with the old key all the time
    When kassa-2 is cut off in silence
    And the key is rotated
    Then status says that the rotation waits for kassa-2
    And signers still use the old key
    When kassa-2 goes on
    Then signers use the new key
    And a token of the new key is taken by every proxy
    And no member was refused
