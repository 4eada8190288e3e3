Feature: Accepted work goes on while the store is out

  Scenario: The store is down with work waiting
    Given 300 repeatable tasks of 4000 ms
    And every caller's request was accepted
    When the store is down
    And the cell works on for 2 s
    Then 20 more tasks start
    When the faults are mended
    Then every caller has the whole answer to its own request
    And no task was started in two places
