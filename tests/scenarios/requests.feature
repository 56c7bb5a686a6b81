Feature: Requests through one entry host
  Callers get whole answers or refusals that are true.

  Background:
    Given an entry host before two desks

  Scenario: A lookup is answered
    When a caller sends "look"
    Then the answer is DONE

  Scenario: A desk that is gone is passed over
    Given desk 1 is gone
    When a caller sends "look"
    Then the answer is DONE

  Scenario: An instruction that reached nobody is sent elsewhere
    Given desk 1 is gone
    When a caller sends "bill" under the key "k1"
    Then the answer is DONE
    And the key "k1" has run 1 time

  Scenario: The answer to an instruction is lost after the effect
    Given the desks lose their answers
    When a caller sends "bill" under the key "k1"
    Then the answer is UNKNOWN
    When the desks keep their answers
    And a caller sends "bill" under the key "k1"
    Then the answer is UNKNOWN
    And the key "k1" has run 1 time

  Scenario: A repeat gets the first answer
    When a caller sends "bill" under the key "k1"
    And a caller sends "bill" under the key "k1"
    Then the answer is DONE
    And it is a replay
    And the key "k1" has run 1 time

  Scenario: Another body under the same key
    When a caller sends "bill" under the key "k1"
    And a caller sends "bill" with another body under the key "k1"
    Then the answer is NOT RUN
    And its name is KEY_REUSED
    And the key "k1" has run 1 time

  Scenario: An instruction without a key
    When a caller sends "bill"
    Then the answer is NOT RUN
    And its name is KEY_NEEDED

  Scenario: Crossed answers are dropped
    When a caller sends "look"
    Given the desks cross their answers
    When a caller sends "look"
    Then the answer is FAILED

  Scenario: The platform is down
    Given the platform is down
    When a caller sends "look"
    Then the answer is DONE
    When a caller sends "bill" under the key "k1"
    Then the answer is NOT RUN
    And its name is PLATFORM_DOWN
    And the key "k1" has run 0 times

  Scenario: A resend while the platform is down
    Given the platform is down
    When a caller sends "bill" again under the key "k1"
    Then the answer is UNKNOWN

  Scenario: A graceful shutdown
    Given the desks hold their answers
    When a caller begins to send "look"
    And the host begins to drain
    And a caller sends "look"
    Then the answer is NOT RUN
    And its name is DRAINING
    When the desks let their answers go
    Then the first caller's answer is DONE
    And the host has drained

  Scenario: A caller leaves before its lookup is answered
    Given the desks hold their answers
    When a caller begins to send "look"
    And the caller leaves
    Then the call at the desk is cancelled

  Scenario: A caller leaves before its instruction is answered
    Given the desks hold their answers
    When a caller begins to send "bill" under the key "k1"
    And the caller leaves
    And the desks let their answers go
    And a caller sends "bill" under the key "k1"
    Then the answer is DONE
    And it is a replay
    And the key "k1" has run 1 time
