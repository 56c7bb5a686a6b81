Feature: A visit is billed once
  Engineers' apps send a billing again, to any host, while things fail.

  Background:
    Given 3 hosts that bill visits under keys

  Scenario: One key is sent to all hosts at once
    When all hosts are sent "visit-7"
    Then all answers are OK
    And all answers but one are replayed
    And "visit-7" was billed 1 time

  Scenario: The platform is down for the whole deadline
    Given the platform is down
    When host0 is sent "visit-7"
    Then the answer is PLATFORM_DOWN
    When host1 is sent "visit-7" again as number 1
    Then the answer is CLAIM_UNKNOWN
    When the platform comes back
    And host2 is sent "visit-7" again as number 2
    Then the answer is OK
    And "visit-7" was billed 1 time

  Scenario: The owner dies between claim and dispatch
    Given the next request ends with the death of its host before it is sent on
    When host0 is sent "visit-7"
    And host1 is sent "visit-7" again as number 1
    Then the answer is CLAIM_OPEN
    And "visit-7" was billed 0 times

  Scenario: The owner dies between dispatch and outcome
    Given the next request ends with the death of its host after it is sent on
    When host0 is sent "visit-7"
    And host1 is sent "visit-7" again as number 1
    Then the answer is CLAIM_OPEN
    And "visit-7" was billed 1 time

  Scenario: A refused request may be sent again
    Given the next request is refused before it is sent on
    When host0 is sent "visit-7"
    Then the answer is NO_ENDPOINT
    When host1 is sent "visit-7" again as number 1
    Then the answer is OK
    And "visit-7" was billed 1 time

  Scenario: An earlier send arrives after a refusal
    Given the next request is refused before it is sent on
    When host0 is sent "visit-7" again as number 1
    Then the answer is NO_ENDPOINT
    When host1 is sent "visit-7"
    Then the answer is KEY_SUPERSEDED
    And "visit-7" was billed 0 times
