Feature: Command line of operators
  The exit code tells programs how a command ended; the output tells people.

  Scenario: the version
    When the operator runs "version"
    Then it ends with exit code 0
    And it prints "eelgrassmount"

  Scenario: help names the exit code and the flags of a node
    When the operator runs "node --help"
    Then it ends with exit code 0
    And it prints on standard error "--caller_address"
    And it prints on standard error "exit code 2"

  Scenario: a misspelt flag
    When the operator runs "status --adnim 127.0.0.1:1"
    Then it ends with exit code 2

  Scenario: no node at the address
    Given a node that does not run
    When the operator runs "status --admin {admin}"
    Then it ends with exit code 3
    And it prints on standard error "check --admin"

  Scenario: a valid configuration
    Given the file "classes.toml"
      """
      [[class]]
      name = "booking"
      routes = ["POST /jobdesk/bookings"]
      idempotent = false
      refuse_last = true
      complete_fraction = 0.999
      within_ms = 2000
      """
    When the operator runs "config validate {file}"
    Then it ends with exit code 0
    And it prints "valid, classes: 1"

  Scenario: all errors of a configuration at once
    Given the file "classes.toml"
      """
      [[class]]
      name = "booking"
      routes = ["POST /jobdesk/bookings"]
      idempotent = "no"
      complete_fraction = 2
      within_ms = 2000
      """
    When the operator runs "config validate {file}"
    Then it ends with exit code 1
    And it prints on standard error "classes.toml:4: "
    And it prints on standard error "classes.toml:5: "

  Scenario Outline: results of a publish
    Given a node whose configuration has version 6
    And it answers a publish with <status> and <body>
    And the file "classes.toml"
      """
      [[class]]
      """
    When the operator runs "config publish {file} --admin {admin}"
    Then it ends with exit code <code>
    And the publish was sent once on top of version 6

    Examples:
      | status | body                                               | code |
      | 200    | {"version": 7}                                     | 0    |
      | 409    | {"in_force": 7, "message": "7 is in force"}        | 1    |
      | 422    | {"errors": [{"line": 1, "message": "no name"}]}    | 1    |
      | 413    | {"message": "too long"}                            | 1    |
      | 503    | {"message": "log is out", "retry_after_ms": 60000} | 4    |

  Scenario: the answer to a publish is lost
    Given a node whose configuration has version 6
    And it loses the answer to the first publish
    And it answers a publish with 200 and {"version": 7}
    And the file "classes.toml"
      """
      [[class]]
      """
    When the operator runs "config publish {file} --admin {admin} --json"
    Then it ends with exit code 0
    And the publish was sent 2 times with the same id

  Scenario: rollback to an old version
    Given a node whose configuration has version 6
    And it answers a publish with 200 and {"version": 7}
    When the operator runs "config rollback 5 --admin {admin}"
    Then it ends with exit code 0
    And the publish carried the text of version 5

  Scenario: rollback to a version that is not retained
    Given a node whose configuration has version 6
    When the operator runs "config rollback 1 --admin {admin}"
    Then it ends with exit code 1
    And it prints on standard error "config history"
