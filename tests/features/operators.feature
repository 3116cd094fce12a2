Feature: A configuration an operator has accepted is in force everywhere

  It is in force everywhere within seconds and never reverts, whatever fails
  while it is written and while it spreads.

  Scenario Outline: A change is met by a fault
    Given a running site
    When <fault> <step>
    Then the change is in force at every host within seconds
    And no host ever went back to a lower version

    Examples:
      | fault                            | step                          |
      | nothing happens                  | while a change is written     |
      | the store loses the answer       | while a change is written     |
      | the store goes down              | once a change is written      |
      | the store is slow                | while a change is written     |
      | a host is killed                 | once a change is written      |
      | a host is frozen                 | once a change is written      |
      | the store's list of hosts is wrong | while a change is written   |
      | the store shows what was before  | once a change is written      |

  Scenario: Two operators race to change the same thing
    Given a running site
    When two operators change the same version
    Then one change is accepted and the other is told of the conflict
    And the change is in force at every host within seconds

  @matrix
  Scenario: A host starts while the store is down
    Given a running site
    When a host is killed and starts again while the store is down
    Then it serves with the version that its peers have
