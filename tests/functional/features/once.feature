Feature: A non-repeatable request runs at most once

  Scenario Outline: An owner fails
    Given 50 non-repeatable tasks of 800 ms
    When 20 tasks run
    And the owner of a <owned> partition <failure>
    Then every caller has a final outcome
    And no task was started a second time
    And each outcome agrees with what the workers recorded

    Examples:
      | owned  | failure               |
      | fleet  | is killed             |
      | ledger | is killed             |
      | fleet  | pauses past its lease |
      | ledger | pauses past its lease |
