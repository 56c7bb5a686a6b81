Feature: Control of the configuration
  Seasonal staff change the rules of a running deployment.

  Background:
    Given nine hosts in three domains with the rules of Kelvinside in force

  Scenario: A failure domain is taken out and back
    When Morag runs "domain out scot-b --reason flood"
    Then the tool ends with 0
    And within 1000 ms every host has generation 2
    And every host says that scot-b is out
    When Morag runs "domain in scot-b --reason dry"
    Then the tool ends with 0
    And every host says that scot-b is in

  Scenario: The last serving domain is guarded
    Given Morag has run "domain out scot-a --reason move"
    And Morag has run "domain out scot-b --reason move"
    When Morag runs "domain out scot-c --reason move"
    Then the tool ends with 4
    And it says "--allow last-domain"
    And within 1000 ms every host has generation 3

  Scenario: The platform is down
    Given the platform is down
    When Morag runs "domain out scot-b --reason flood"
    Then the tool ends with 7
    And within 1000 ms every host has generation 1

  Scenario: The answer is lost after the write
    Given the answer to the next change of the head is lost
    When Morag runs "domain out scot-b --reason flood"
    Then the tool ends with 0
    And within 1000 ms every host has generation 2

  Scenario: Two operators edit one rule
    Given Morag and Eilidh have both shown the rules
    When Morag applies them with "islands rate=85"
    Then the tool ends with 0
    When Eilidh applies them with "islands rate=90"
    Then the tool ends with 5
    And it says "Morag in generation 2"
    And it says "Eilidh: team islands rate=90"

  Scenario: A failure domain is cut off through three changes
    Given scot-c is cut off
    When Morag runs "domain out scot-a --reason one"
    Then the tool ends with 6
    And it says "unreached"
    When Morag runs "domain in scot-a --reason two"
    And Morag runs "domain out scot-b --reason three"
    Then the hosts of scot-c have generation 1
    When scot-c is joined again
    Then within 4000 ms every host has generation 4
