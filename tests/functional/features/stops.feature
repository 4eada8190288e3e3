Feature: A planned stop cuts off no request

  Scenario: Every instance is replaced under load
    Given callers that submit without a break
    And 30 non-repeatable tasks of 1500 ms
    And 20 tasks have started
    When every instance is stopped and replaced, one after the other
    And the callers submit no more
    Then every caller has the whole answer to its own request
    And no task was started a second time
    And no task was started in two places
