Feature: Withdrawn authority stops working within seconds

  Scenario: A key is withdrawn
    Given callers that submit without a break
    And 20 tasks have started
    When operators withdraw the key
    And 3 s have passed since the change
    Then every instance rejects the key

  Scenario: A key is withdrawn while an instance is cut off
    Given the owner of a ledger partition is cut off the table
    When operators withdraw the key
    And 3 s have passed since the change
    Then the cut off instance accepts nothing

  Scenario: The limit of a team is lowered
    Given a limit of 40 slots for the team
    And 3 s have passed since the change
    And 150 repeatable tasks of 1000 ms
    When 30 tasks run
    And operators lower the limit to 15 slots
    Then every caller has the whole answer to its own request
    And no start was above the limits in force

  Scenario: A failure domain is closed
    Given callers that submit without a break
    And 20 tasks have started
    When operators close the failure domain east
    And 4 s have passed since the change
    And the callers submit no more
    Then every caller has the whole answer to its own request
    And no task was started in a closed domain

  Scenario: A failure domain is closed while its owner is cut off
    Given callers that submit without a break
    And 20 tasks have started
    When the owner of a fleet partition is cut off the table
    And operators close the failure domain east
    And 5 s have passed since the change
    And the callers submit no more
    And the faults are mended
    Then every caller has a final outcome
    And at least 50 requests were finished
    And each outcome agrees with what the workers recorded
    And no task was started in a closed domain

  Scenario: A target leaves
    Given callers that submit without a break
    And 60 tasks have started
    When the busiest worker is leaving
    And 4 s have passed since the change
    And the callers submit no more
    Then every caller has the whole answer to its own request
    And no task was started on a leaving worker
