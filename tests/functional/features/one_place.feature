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
    When 45 tasks run
    And no call of its owner reaches the busiest worker
    Then every caller has the whole answer to its own request
    And no task was started in two places

  Scenario: Calls reach a worker late
    Given 60 repeatable tasks of 9000 ms
    When 45 tasks run
    And calls reach the busiest worker 1800 ms late
    And the cell works on for 9 s
    And the faults are mended
    Then every caller has the whole answer to its own request
    And no task was started in two places
