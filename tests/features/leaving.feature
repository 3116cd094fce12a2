Feature: Whoever leaves finishes what it has and gets nothing new

  A planned stop of a host or engine is a graceful shutdown.
  An upstream that is leaving receives no new work after a few seconds.

  Scenario: All hosts are restarted one after another under load
    Given callers that follow the address answers
    When every host is stopped and started again, one after another
    Then no caller saw a failed request
    And every request ran at most once
    And every stop ended with exit status 0

  Scenario: An engine leaves under load
    Given callers that follow the address answers
    When an operator marks an engine as leaving
    Then that engine was given nothing new after 3 seconds
    And no caller saw a failed request

  Scenario: An engine refuses because it leaves, before the change arrives
    Given callers that follow the address answers
    When an engine refuses all work from now on
    Then no caller saw a failed request
    And that engine ran nothing new

  Scenario: A host is stopped while a draw streams
    Given a chat turn that streams from a host
    When the host is told to stop
    Then the caller gets the whole answer from it
    And the host ends with exit status 0

  @matrix
  Scenario: A host is stopped while a chat turn waits for a place
    Given a chat turn that waits at a host, with all engines busy
    When the host is told to stop, twice
    Then the caller is told "not run"
    And it never ran

  Scenario: A second signal cuts a stop short
    Given a season draw that streams from a host
    When the host is told to stop, twice
    Then the host ends before the draw does
    And the caller has the whole answer after a second try

