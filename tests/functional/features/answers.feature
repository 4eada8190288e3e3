Feature: A caller gets the whole answer to its own request

  Scenario: Answers come late and crossed, and submits are repeated
    Given workers whose answers are 400 ms late
    When each of 40 requests is submitted 3 times at once
    Then every caller has the whole answer to its own request
    And each request was started once

  Scenario: The owner of a ledger partition dies
    Given 60 repeatable tasks of 800 ms
    When 20 tasks run
    And the owner of a ledger partition is killed
    Then every caller has the whole answer to its own request
    And no task was started in two places
