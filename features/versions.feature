Feature: versions of the fleet configuration
  An operator proposes a version once. Every proxy acts on it, and no two act on contradicting versions for longer than the agreement timeout.

  Background:
    Given a fleet of 3 replicas and 4 proxies with an agreement timeout of 2 s and a member timeout of 10 s
    And the active version routes "key1" to "a"

  Scenario: a proposed version becomes active at all proxies
    When the operator proposes "key1" to "b"
    Then the proposal is accepted as version 2 within 1 s
    And all proxies act on version 2 within 3 s
    And p3 sends "key1" to "b"
    And p3 sends "key2" to "rest"

  Scenario Outline: clocks drift
    Given clocks that drift by up to <ppm> ppm
    And p4 is disconnected from the replicas
    When the operator proposes "key1" to "b"
    And 30 s pass
    Then version 2 is active
    And contradicting versions were acted on for at most 2 s
    When the links are restored
    Then all proxies act on version 2 within 10 s

    Examples:
      | ppm  |
      | 0    |
      | 300  |
      | 1000 |

  Scenario: an unresponsive proxy blocks a version until its member timeout
    Given p4 is disconnected from the replicas
    When the operator proposes "key1" to "b"
    And 9 s pass
    Then version 1 is active
    And p4 blocks version 2
    And version 2 is active within 5 s
    And p3 sends "key1" to "b" within 3 s

  Scenario: a disconnected proxy without another prepared version serves until its knowledge expires
    Given p4 is disconnected from the replicas
    When 5 s pass
    Then p4 is expired
    And p4 sends "key1" to "a"
    When 6 s pass
    Then p4 is disconnected
    And p4 rejects "key1"

  Scenario: a proxy with an expired lease rejects only what its prepared version contests
    Given p4 is disconnected from the replicas
    When the operator proposes "key1" to "b"
    And p3 has prepared version 2 within 2 s
    And p3 is disconnected from the replicas
    And 3 s pass
    Then p3 is expired
    And p3 rejects "key1"
    And p3 sends "key2" to "rest"
    And p1 sends "key1" to "a"

  Scenario: under the policy "hold" a disconnected proxy rejects connections until it has a lease
    Given p4 is disconnected from the replicas
    When 15 s pass
    Then p4 is disconnected
    And p4 rejects "key2"
    When the links are restored
    Then p4 is leased within 7 s
    And p4 sends "key2" to "rest"

  Scenario: under the policy "serve" a disconnected proxy serves and counts the connections
    Given the lease expiry policy is "serve"
    And p4 is disconnected from the replicas
    When 15 s pass
    Then p4 is disconnected
    And p4 sends "key2" to "rest"
    And p4 has served at least 20 connections while disconnected

  Scenario: renewals of a proxy are lost
    Given messages from p4 to the replicas are lost
    When the operator proposes "key1" to "b"
    Then version 2 is active within 14 s
    And p4 rejects "key1"
    When the links are restored
    Then all proxies act on version 2 within 10 s

  Scenario: leases to a proxy are lost
    Given messages from the replicas to p4 are lost
    When 12 s pass
    Then p4 is disconnected
    And p4 is reported unreachable
    When the operator proposes "key1" to "b"
    Then version 2 is active within 14 s
    And p4 rejects "key1"
    When the links are restored
    Then all proxies act on version 2 within 10 s

  Scenario: the leader crashes
    When the leader crashes
    And the operator proposes "key1" to "b"
    Then another replica leads within 4 s
    And all proxies act on version 2 within 15 s

  Scenario: the leader crashes and the proxies keep their version
    When the leader crashes
    And 2 s pass
    Then all proxies act on version 1 within 6 s

  Scenario: an isolated leader still takes itself for the leader
    Given the leader is disconnected from the other replicas
    When the operator proposes "key1" to "b"
    Then version 2 is active within 15 s
    And contradicting versions were acted on for at most 2 s
    When the links are restored
    Then all proxies act on version 2 within 10 s

  Scenario: a paused leader resumes after its term
    When the leader is paused
    And the operator proposes "key1" to "b"
    And 15 s pass
    Then version 2 is active
    When the paused replica is resumed
    And 5 s pass
    Then all proxies act on version 2 within 5 s
    And contradicting versions were acted on for at most 2 s

  Scenario: a paused proxy does not act on an outdated decision
    When p2 is paused
    And the operator proposes "key1" to "b"
    And 20 s pass
    Then version 2 is active
    When p2 is resumed
    Then p2 acts on version 2 within 10 s
    And contradicting versions were acted on for at most 2 s

  Scenario: the quorum is lost and restored
    When r1 crashes
    And r2 crashes
    And the operator proposes "key1" to "b"
    And 4 s pass
    Then the request has no answer
    And p1 is expired
    And p1 sends "key1" to "a"
    When 10 s pass
    Then p1 rejects "key2"
    When r1 starts again
    Then the proposal is accepted as version 2 within 5 s
    And all proxies act on version 2 within 20 s

  Scenario: all replicas crash at once and no version is lost
    When the operator proposes "key1" to "b"
    Then all proxies act on version 2 within 3 s
    When all replicas crash
    And all replicas start again
    Then all proxies act on version 2 within 15 s
    When the operator proposes "key1" to "c" on version 2
    Then all proxies act on version 3 within 15 s

  Scenario: a restarted proxy rejects connections until it knows the active version
    When p2 crashes
    And p2 is disconnected from the replicas
    And p2 starts again
    And 20 s pass
    Then p2 is starting
    And p2 rejects "key1"
    When the links are restored
    Then p2 sends "key1" to "a" within 7 s

  Scenario: under the policy "serve" a proxy without a version serves by its own settings after the member timeout
    Given the lease expiry policy is "serve"
    When p2 crashes
    And p2 is disconnected from the replicas
    And p2 starts again
    And 8 s pass
    Then p2 rejects "key1"
    When 3 s pass
    Then p2 serves "key1" by its own settings

  Scenario: a crashed proxy stays down
    When p2 crashes
    And the operator proposes "key1" to "b"
    Then version 2 is active within 13 s
    And p1 sends "key1" to "b" within 2 s

  Scenario: a proxy joins
    When another proxy joins
    Then p5 acts on version 1 within 3 s
    When the operator proposes "key1" to "b"
    Then all proxies act on version 2 within 3 s

  Scenario: a draining proxy does not block versions
    When p4 drains
    And 2 s pass
    And the operator proposes "key1" to "b"
    Then version 2 is active within 2 s

  Scenario: a rollback is a new version with the content of an earlier one
    When the operator proposes "key1" to "b"
    Then all proxies act on version 2 within 3 s
    When the operator rolls back to version 1
    Then all proxies act on version 3 within 3 s
    And p1 sends "key1" to "a"
    And versions 1 and 3 have the same content

  Scenario: a rollback to an unknown version
    When the operator rolls back to version 7
    Then the request is rejected with "agreement/unknown-version" within 2 s

  Scenario: a proposal on a version that is no longer active
    When the operator proposes "key1" to "b" on version 1
    Then all proxies act on version 2 within 3 s
    When the operator proposes "key1" to "c" on version 1
    Then the request is rejected with "agreement/stale-base" within 2 s
    And all proxies act on version 2 within 1 s

  Scenario: a second proposal while one is pending
    Given p4 is disconnected from the replicas
    When the operator proposes "key1" to "b"
    Then the proposal is accepted as version 2 within 1 s
    When the operator proposes "key1" to "c"
    Then the request is rejected with "agreement/already-proposed" within 2 s

  Scenario: the operator withdraws a proposed version
    Given p4 is disconnected from the replicas
    When the operator proposes "key1" to "b"
    Then the proposal is accepted as version 2 within 1 s
    When the operator withdraws version 2
    And 20 s pass
    Then version 1 is active
    And version 2 was withdrawn
    When the operator proposes "key1" to "c"
    Then version 3 is active within 14 s

  Scenario: a withdrawal of the active version
    When the operator proposes "key1" to "b"
    Then all proxies act on version 2 within 3 s
    When the operator withdraws version 2
    Then the request is rejected with "agreement/not-proposed" within 2 s

  Scenario: a repeated proposal is idempotent
    When the operator proposes "key1" to "b" under the id "release-7"
    Then the proposal is accepted as version 2 within 1 s
    And all proxies act on version 2 within 3 s
    When the operator proposes "key1" to "c" under the id "release-7"
    Then the proposal is accepted as version 2 within 1 s
    And p1 sends "key1" to "b"

  Scenario Outline: a degraded network delays agreement and does not break it
    Given a network that loses <loss> %, duplicates <duplicated> % and delays <delayed> % of the messages by up to 4 s
    When the operator proposes "key1" to "b"
    Then version 2 is active within 30 s
    And all proxies act on version 2 within 20 s
    When 5 s pass
    Then contradicting versions were acted on for at most 2 s

    Examples:
      | loss | duplicated | delayed |
      | 5    | 0          | 0       |
      | 0    | 20         | 10      |
      | 10   | 10         | 5       |

  Scenario Outline: fleets with other timeouts
    Given a fleet of <replicas> replicas and 3 proxies with an agreement timeout of <agreement> s and a member timeout of <member> s
    And the active version routes "key1" to "a"
    And p3 is disconnected from the replicas
    When the operator proposes "key1" to "b"
    Then version 2 is active within <wait> s
    And contradicting versions were acted on for at most <agreement> s

    Examples:
      | replicas | agreement | member | wait |
      | 3        | 1         | 4      | 6    |
      | 5        | 2         | 10     | 13   |
      | 5        | 4         | 4      | 7    |
