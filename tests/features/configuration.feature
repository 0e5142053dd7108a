Feature: An accepted configuration takes effect everywhere and is not lost
  Nodes, log and links are real processes. The versions are read from the
  nodes' admin listeners.

  Scenario: Two operators publish at the same time
    Given a running deployment
    When two operators publish on version 0 at the same time
    Then one publish is accepted and the other is rejected as version 1 is in force
    And version 1 is in force at every node within 5 seconds

  Scenario: A failure domain without the log receives versions from its peers
    Given a running deployment with links that can be interrupted
    And version 1 is published
    When failure domain "sealdah" is disconnected from the log
    And version 2 is published
    Then version 2 is in force at every node within 5 seconds

  Scenario: A disconnected failure domain catches up
    Given a running deployment with links that can be interrupted
    And version 1 is published
    When failure domain "sealdah" is disconnected from everything
    And version 2 is published
    Then version 1 stays in force in "sealdah" for 2 seconds
    When the links are restored
    Then version 2 is in force at every node within 10 seconds

  Scenario: Restarts and an outage of the log never restore an older version
    Given a running deployment
    And version 1 is published
    And version 2 is published
    When the log is down
    And the nodes of "bowbazar" are killed and restarted
    Then version 2 is in force at every node within 10 seconds
    When the log is up again
    And all nodes are killed and restarted
    Then version 2 is in force at every node within 15 seconds
    And no node ever reports an older version after a newer one

  Scenario: The answer to a publish is lost after the write
    Given a running deployment
    And version 1 is published
    When the log loses the next answer
    And version 2 is published
    Then version 2 is in force at every node within 5 seconds
    And the log holds 2 published versions
