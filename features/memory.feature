Feature: memory limits of nodes
  Before a version becomes active the operator learns which nodes cannot load it and which routes need the most memory.

  Background:
    Given a fleet of 3 replicas and 3 proxies with an agreement timeout of 2 s and a member timeout of 10 s
    And the active version routes "key1" to "a"

  Scenario Outline: a version that a node cannot load is withdrawn
    Given p2 may use <limit> KiB
    When the operator proposes a route "bulk" of <keys> keys
    Then version 2 was withdrawn within 4 s
    And the withdrawal names p2 with a limit of <limit> KiB and an estimate above it
    And the withdrawal names the route "bulk" first
    And all proxies act on version 1 within 1 s

    Examples:
      | limit | keys |
      | 64    | 400  |
      | 200   | 1500 |
      | 500   | 4000 |

  Scenario Outline: a version that all nodes can load becomes active
    Given all proxies may use <limit> KiB
    When the operator proposes a route "bulk" of <keys> keys
    Then all proxies act on version 2 within 3 s

    Examples:
      | limit | keys |
      | 64    | 10   |
      | 2000  | 400  |
      | 20000 | 4000 |

  Scenario: the largest routes come first
    Given p3 may use 100 KiB
    And the draft has a route "small" of 50 keys
    When the operator proposes a route "large" of 900 keys
    Then version 2 was withdrawn within 4 s
    And the withdrawal names the route "large" first
    And the withdrawal names the route "small" too

  Scenario: a switch needs memory for two tables, so a version that fits alone may not fit beside the active one
    Given all proxies may use 1200 KiB
    When the operator proposes a route "first" of 1500 keys
    Then all proxies act on version 2 within 3 s
    When the operator proposes a route "second" of 1500 keys
    Then version 3 was withdrawn within 4 s
    And all proxies act on version 2 within 1 s

  Scenario: a smaller version follows a withdrawn one
    Given p2 may use 64 KiB
    When the operator proposes a route "bulk" of 900 keys
    Then version 2 was withdrawn within 4 s
    When the operator removes the route "bulk"
    Then all proxies act on version 3 within 3 s

  Scenario: a forced version excludes only the node that cannot load it
    Given p2 may use 64 KiB
    When the operator forces a route "bulk" of 900 keys
    Then version 2 is active within 3 s
    And p1 acts on version 2 within 3 s
    And p2 is excluded within 4 s
    And p2 rejects "key2"
    And p2 acts on version 1

  Scenario: an excluded node that gets more memory loads the version
    Given p2 may use 64 KiB
    When the operator forces a route "bulk" of 900 keys
    Then p2 is excluded within 5 s
    When p2 may use 8000 KiB
    Then p2 acts on version 2 within 5 s
    And p2 sends "key1" to "a"

  Scenario: a new proxy that cannot load the active version does not block others
    When the operator proposes a route "bulk" of 900 keys
    Then all proxies act on version 2 within 3 s
    When another proxy joins that may use 64 KiB
    Then p4 is excluded within 5 s
    And p4 rejects "key1"
    When the operator removes the route "bulk"
    Then all proxies act on version 3 within 15 s
