Feature: Workers are never given more than they have

  Scenario: Declared sizes are wrong and an owner dies
    Given 150 tasks that use 300 % of their size
    When 10 tasks run
    And the owner of a fleet partition is killed
    Then every caller has the whole answer to its own request
    And no task was started over capacity

  Scenario: A worker begins a new run
    Given 60 repeatable tasks of 3000 ms
    When 50 tasks run
    And the busiest worker is rebooted
    Then every caller has the whole answer to its own request
    And no task was started over capacity
    And no task was started in two places
