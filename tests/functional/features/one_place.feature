Feature: A task never runs in two places at once

  Scenario: The owner of a fleet partition dies
    Given 60 repeatable tasks of 1500 ms
    When 40 tasks run
    And the owner of a fleet partition is killed
    Then every caller has the whole answer to its own request
    And no task was started in two places

  Scenario: The owner of a fleet partition pauses past its lease
    Given 60 repeatable tasks of 1500 ms
    When 40 tasks run
    And the owner of a fleet partition pauses past its lease
    Then every caller has the whole answer to its own request
    And no task was started in two places

  Scenario: A worker can't be reached by its owner
    Given 60 repeatable tasks of 1500 ms
    When 40 tasks run
    And no call of its owner reaches worker east-w-1
    Then every caller has the whole answer to its own request
    And no task was started in two places
