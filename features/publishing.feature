Feature: meshes publish to the control plane
  The leader merges the publications of meshes into a catalog and proposes it as a version, even if processes or links fail.

  Background:
    Given a fleet of 3 replicas and 3 proxies with an agreement timeout of 2 s and a member timeout of 10 s
    And the active version routes "key1" to "a"
    And the federation has the meshes
      | mesh   | precedence | owners |
      | thies  | 1          | post   |
      | dakar  | 2          |        |
      | caroni | 3          |        |
    And the mesh thies publishes "mail" of post to the replicas
    Then all proxies resolve "mail" to post's service within 6 s

  Scenario: a mesh publishes while the leader crashes
    When the leader crashes
    And the mesh dakar publishes "feed" of press to the replicas
    Then the publication of dakar is accepted within 8 s
    And all proxies resolve "feed" to press's service within 8 s
    And the mesh thies is not lost

  Scenario: two meshes publish one name while the network loses messages
    Given a network that loses 10 %, duplicates 5 % and delays 0 % of the messages by up to 0 s
    When the mesh dakar publishes "feed" of press to the replicas
    And the mesh caroni publishes "feed" of radio to the replicas
    Then the publication of dakar is accepted within 20 s
    And the publication of caroni is accepted within 20 s
    And all proxies resolve "feed.dakar" or "feed.caroni" within 40 s
    And every name resolves alike at all proxies

  Scenario: a disconnected mesh returns with other services
    When thies is disconnected from all replicas
    Then the mesh thies is lost within 10 s
    And all proxies resolve "mail" to post's service within 6 s
    When the mesh caroni publishes "mail" of courier to the replicas
    Then all proxies resolve "mail.caroni" to courier's service within 8 s
    And all proxies resolve "mail" to post's service within 0 s
    When the links are restored
    And the mesh thies publishes "mail, parcels" of post to the replicas
    Then all proxies resolve "parcels" to post's service within 10 s
    And all proxies resolve "mail" to post's service within 0 s
    And the mesh thies is not lost

  Scenario: an unauthorized claim gets a finding and no name
    When the mesh dakar publishes "letters" of post to the replicas
    Then the mesh dakar gets the finding "catalog/squatter" within 6 s
    And no proxy resolves "letters"

  Scenario: all proxies resolve a name alike in time
    When the mesh dakar publishes "feed" of press to the replicas
    Then all proxies resolve "feed" to press's service within 4 s
    And every name resolves alike at all proxies

  Scenario: a mesh publishes while a version is proposed
    When p1 is paused
    And the operator proposes "key2" to "b"
    And 1 s pass
    And the mesh dakar publishes "feed" of press to the replicas
    And 2 s pass
    Then no proxy resolves "feed"
    When p1 is resumed
    Then all proxies resolve "feed" to press's service within 12 s
    And p2 sends "key2" to "b"

  Scenario: an override is accepted only on the active terms
    When the mesh caroni publishes "mail" of courier to the replicas
    Then all proxies resolve "mail.caroni" to courier's service within 8 s
    When the operator overrides the owner of "mail" with courier on terms 0
    Then the request is rejected with "federation/stale-terms" within 3 s
    When the operator overrides the owner of "mail" with courier on terms 1
    Then all proxies resolve "mail" to courier's service within 8 s
