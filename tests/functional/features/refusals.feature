Feature: A refusal that says "not run" is true

  Scenario Outline: The store fails while requests are submitted
    Given the store is <state>
    And 30 repeatable tasks of 100 ms
    When the cell works on for 4 s
    And the faults are mended
    Then every caller has a final outcome
    And no request that was refused starts later

    Examples:
      | state              |
      | down               |
      | slow               |
      | losing its answers |
      | late               |
