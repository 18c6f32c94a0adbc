Feature: What must always hold
  Three entries schedule urgent requests and batch work on six workers.

  Background:
    Given three entries and six workers

  Scenario: No instance is ever given more work than it holds
    Given workers that take whatever they are given
    When 40 jobs of 2 seconds are submitted
    And 20 requests of 1 second arrive
    Then the line "capacity" holds
    And every accepted job has ended

  Scenario: No task runs in two places at once
    When 6 jobs of 20 seconds are submitted
    And an entry is frozen past its lease and goes on
    Then the line "one-place" holds
    And every accepted job has ended

  Scenario: Work that is evicted resumes exactly once
    When 6 jobs of 10 seconds are submitted
    And running work is evicted
    And the entry that evicted it dies
    Then the line "resumes-once" holds
    And every accepted job has ended

  Scenario: Every caller gets the whole answer to its own request
    Given messages that travel late, out of order and twice
    And a worker whose answers break off
    When 30 requests of 0.3 seconds arrive
    Then the line "own-answer" holds

  Scenario: When a caller is told that a request was not run, it was not run
    Given a store that is down
    When 10 charges with a key arrive
    And 10 jobs of 2 seconds are submitted
    And the store comes back
    Then every caller was told "not-run"
    And the line "not-run" holds

  Scenario: A non-idempotent request runs at most once
    When a charge with a key is answered
    And the owner of the key's cell dies
    And the same charge is repeated at every entry
    Then the line "at-most-once" holds
    And the charge ran once

  Scenario Outline: A target that is leaving gets no new work after a few seconds
    When a worker gives the sign "<sign>"
    And 60 requests of 0.2 seconds arrive over 12 seconds
    Then the line "leaving" holds

    Examples:
      | sign    |
      | list    |
      | word    |
      | refusal |

  Scenario: A planned stop cuts off no request that is in progress
    When 12 requests of 1 second arrive
    And an entry is stopped as planned
    Then the line "graceful-stop" holds
    And every caller was told "answered"

  Scenario: An accepted configuration is in force everywhere and never reverts
    Given the watch of one entry is silent
    When an operator writes a configuration
    And an entry restarts with a store that answers from its past
    Then the line "configuration" holds
    And every entry has the newest configuration
