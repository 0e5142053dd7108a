Feature: Configuration that is accepted is in force everywhere and stays
  Nodes, log and links are real processes; the versions are read from the
  nodes' admin listeners.

  Scenario: Two operators publish at the same time
    Given a running deployment
    When two operators publish on version 0 at once
    Then one is told that version 1 is accepted and the other what is in force
    And version 1 is in force at every node within 5 seconds

  Scenario: A failure domain without the log hears from its peers
    Given a running deployment with links that can be cut
    And version 1 is published
    When failure domain "sealdah" is cut from the log
    And version 2 is published
    Then version 2 is in force at every node within 5 seconds

  Scenario: A failure domain that is cut from everything catches up
    Given a running deployment with links that can be cut
    And version 1 is published
    When failure domain "sealdah" is cut from everything
    And version 2 is published
    Then version 1 stays in force in "sealdah" for 2 seconds
    When the cuts are healed
    Then version 2 is in force at every node within 10 seconds

  Scenario: Restarts and an outage of the log never bring an older version back
    Given a running deployment
    And version 1 is published
    And version 2 is published
    When the log is down
    And the nodes of "bowbazar" are killed and started again
    Then version 2 is in force at every node within 10 seconds
    When the log is up again
    And all nodes are killed and started again
    Then version 2 is in force at every node within 15 seconds
    And no node ever showed an older version after a newer one

  Scenario: The answer to a publish is lost after the write
    Given a running deployment
    And version 1 is published
    When the log loses the next answer
    And version 2 is published
    Then version 2 is in force at every node within 5 seconds
    And the log holds 2 published versions
