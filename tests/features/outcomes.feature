Feature: Each request once, whole and truthfully

  A booking, chat turn, draw or lookup is dispatched to an engine at most once.
  Every caller receives the whole answer to its own request and no one else's.
  When the system tells the app "not run", the request did not run.

  Scenario Outline: A chat turn is met by a fault and the caller tries again
    Given a chat turn with a key that is bound to its host
    When <fault> <step>
    And the caller tries again at other hosts
    Then it ran at most once
    And nobody was told "not run" of what ran
    And every answer is the engine's own, or is told as partial or unknown
    And the caller has at last <ending>

    Examples:
      | fault                                                          | step                 | ending              |
      | its host is killed                                             | at its dispatch      | the whole answer    |
      | its host is killed                                             | while it streams     | the whole answer    |
      | its host is killed                                             | after its answer     | the whole answer    |
      | its host is killed                                             | while it is queued   | the truth           |
      | its host is frozen                                             | while it streams     | the whole answer    |
      | the home of its cell is killed                                 | while it is queued   | the whole answer    |
      | the home of its cell is killed, and its host once there is a new home | while it streams at length | the whole answer    |
      | its upstream is killed                                         | while it streams     | a part or "unknown" |
      | its upstream is frozen for a while                             | while it streams     | the whole answer    |
      | its upstream's connection is cut                               | before it arrives    | the whole answer    |
      | its upstream drops the answer after the effect                 | before it arrives    | the whole answer    |
      | its upstream fails after the effect                            | before it arrives    | the whole answer    |
      | its upstream answers twice                                     | before it arrives    | the whole answer    |
      | its upstream refuses                                           | before it arrives    | the whole answer    |
      | all its upstreams refuse                                       | before it arrives    | "not run"           |

  Scenario Outline: A booking that may not be repeated is met by a fault
    Given a booking with a key of the caller's own
    When <fault> <step>
    And the caller tries again at other hosts
    Then it ran at most once
    And nobody was told "not run" of what ran
    And every answer is the service's own, or is told as unknown
    And the caller has at last <ending>

    Examples:
      | fault                                                       | step              | ending           |
      | nothing                                                     | after its answer  | the whole answer |
      | its host is killed                                          | at its dispatch   | "unknown"        |
      | its host is killed                                          | after its answer  | "unknown"        |
      | its caller vanishes                                         | at its dispatch   | the whole answer |
      | its upstream is killed                                      | at its dispatch   | "unknown"        |
      | its upstream drops the answer after the effect              | before it arrives | "unknown"        |
      | its upstream answers twice                                  | before it arrives | the whole answer |
      | the platform is down                                        | before it arrives | "not run"        |
      | the platform is down                                        | at its dispatch   | the whole answer |
      | the platform is down                                        | after its answer  | the whole answer |
      | the platform loses the answer of a write that took effect   | before it arrives | the whole answer |
      | the platform is down and its host is killed                 | at its dispatch   | "unknown"        |
