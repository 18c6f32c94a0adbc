Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given six entries with generation 2 in force

  Scenario: One entry's watch has gone silent
    Given the store never answers entry 3
    When an operator applies records through entry 0
    Then generation 3 is in force on every entry within 5 seconds

  Scenario: An entry is replaced while the store answers from its past
    Given the store answers entry 4 with what it held 15 seconds ago
    When entry 4 is replaced by a fresh one
    Then generation 2 is in force on every entry within 5 seconds
    And no entry has reverted

  Scenario: The store is down when an entry is replaced
    Given the store is down
    When entry 5 is replaced by a fresh one
    Then generation 2 is in force on every entry within 5 seconds
    And no entry has reverted

  Scenario: Two operators race
    Given the store takes half a second for each call
    When two operators apply different records on top of generation 2
    Then one of them is told that generation 3 was accepted
    And the other is told that generation 3 is in force and nothing of theirs was run
    And generation 3 is in force on every entry within 5 seconds

  Scenario: The answer to an accepted write is lost
    Given the answer to a write through entry 0 is lost
    When another operator applies records through entry 1
    Then the first operator is told that generation 3 was accepted
    And generation 4 is in force on every entry within 5 seconds
    And no entry has reverted
