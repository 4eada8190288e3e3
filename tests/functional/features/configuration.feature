Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race
    When two operators change the same revision at once
    Then one change was applied and the other got a conflict

  Scenario: An instance pauses while the configuration changes
    Given someone who watches the revision of every instance
    When operators make 10 changes while an instance pauses
    Then the newest revision is in force in every instance
    And no instance ever showed an older revision than before
