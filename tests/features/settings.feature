Feature: Settings of a node
  A node that is started with a wrong setting exits at once and names the setting,
  its value and the allowed values in one line.

  Scenario Outline: a wrong setting
    Given the settings of a node
    And the setting <name> is "<value>"
    When the node is started
    Then it ends with exit code 2
    And it prints one line with "<name>", "<value>" and "<allowed>"

    Examples:
      | name              | value          | allowed                 |
      | caller_address    | localhost:80   | an IPv4 address         |
      | peers             | 10.0.0.1       | separated by commas     |
      | drain_limit_s     | soon           | a number from 0.1       |
      | key_table_size    | 0              | a whole number from 1   |
      | log_level         | loud           | one of debug            |
      | failure_domain    | a b            | letters, digits         |

  Scenario: a missing setting
    Given the settings of a node
    And the setting log_address is left out
    When the node is started
    Then it ends with exit code 2
    And it prints one line with "log_address", "''" and "an IPv4 address"

  Scenario: a wrong environment variable
    Given the settings of a node
    And the variable EELGRASSMOUNT_LOG_LEVEL is "loud"
    When the node is started
    Then it ends with exit code 2
    And it prints one line with "log_level", "loud" and "one of debug"

  Scenario: a misspelt environment variable
    Given the settings of a node
    And the variable EELGRASSMOUNT_PEER is "127.1.0.1:1"
    When the node is started
    Then it ends with exit code 2
    And it prints one line with "EELGRASSMOUNT_PEER", "127.1.0.1:1" and "a listed setting"
