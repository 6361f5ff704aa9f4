Feature: Recorded traces end as stated
  Each trace is replayed on an injected clock over the real queue, picker, dispatcher and claims of three instances.

  Scenario Outline: <trace>
    Given the trace "<trace>"
    When it is replayed
    Then every request has exactly one answer, whole or a truthful error
    And the outcome is as stated

    Examples:
      | trace                     |
      | march-late-drafts         |
      | march-duplicate-objection |
      | march-vanished-lookup     |
      | march-stalled-reviews     |
      | duplicated-alerts         |
      | storm-over-briefings      |
      | filing-deadline-burst     |
