Feature: Replayed traces have the expected outcome
  Each trace is replayed on a manual clock through the real queue, picker, dispatcher and claims of three instances.

  Scenario Outline: <trace>
    Given the trace "<trace>"
    When it is replayed
    Then every request has exactly one answer, either complete or an error
    And the outcome is the expected one

    Examples:
      | trace                     |
      | march-late-drafts         |
      | march-duplicate-objection |
      | march-vanished-lookup     |
      | march-stalled-reviews     |
      | duplicated-alerts         |
      | storm-over-briefings      |
      | filing-deadline-burst     |
