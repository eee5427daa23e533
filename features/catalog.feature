Feature: names in the merged catalog of federated meshes
  A name resolves to the same service everywhere and keeps its owner when meshes join, are lost or return.

  Background:
    Given the meshes
      | mesh   | precedence |
      | thies  | 1          |
      | dakar  | 2          |
      | caroni | 3          |
    And thies publishes
      | name | owner | contract |
      | mail | post  | m1       |
    And the catalog is merged

  Scenario: a service with one provider
    Then "mail" resolves to post's service at "thies" by "sole"
    And "mail.thies" does not resolve

  Scenario: a service with two providers is one entry
    When dakar publishes
      | name | owner | contract |
      | mail | post  | m1       |
    Then "mail" resolves to post's service at "dakar, thies"
    And there is no finding about "mail"

  Scenario: of two conflicting services the earlier owner keeps the name
    When caroni publishes
      | name | owner   | contract |
      | mail | courier | c1       |
    Then "mail" resolves to post's service at "thies" by "earlier holder"
    And "mail.caroni" resolves to courier's service at "caroni"
    And there is a finding "catalog/collision" about "mail"

  Scenario: of two new conflicting services the mesh with the higher precedence gets the name
    When dakar publishes
      | name | owner | contract |
      | feed | a     | f1       |
    And caroni publishes
      | name | owner | contract |
      | feed | b     | f2       |
    Then "feed" resolves to b's service at "caroni" by "export precedence"
    And "feed.dakar" resolves to a's service at "dakar"

  Scenario: at equal precedence the mesh name decides
    Given the meshes
      | mesh  | precedence |
      | thies | 1          |
      | anse  | 1          |
      | dakar | 1          |
    When dakar publishes
      | name | owner | contract |
      | feed | a     | f1       |
    And anse publishes
      | name | owner | contract |
      | feed | b     | f2       |
    Then "feed" resolves to b's service at "anse" by "mesh name"

  Scenario: an override goes before the earlier owner and the precedence
    Given caroni publishes
      | name | owner   | contract |
      | mail | courier | c1       |
    And the catalog is merged
    When an override gives "mail" to courier
    Then "mail" resolves to courier's service at "caroni" by "ruling"
    And "mail.thies" resolves to post's service at "thies"

  Scenario: the names of a lost mesh become tombstones
    When thies is lost
    And 9 minutes pass
    Then "mail" resolves to post's service at "thies"
    And "mail" has the status "tombstone"

  Scenario: the names of a lost mesh are quarantined after their tombstone
    When thies is lost
    And 11 minutes pass
    And caroni publishes
      | name | owner   | contract |
      | mail | courier | c1       |
    Then "mail" does not resolve
    And "mail.caroni" resolves to courier's service at "caroni"

  Scenario: the names of a lost mesh are free after their quarantine
    When thies is lost
    And 11 minutes pass
    And 11 minutes pass
    And caroni publishes
      | name | owner   | contract |
      | mail | courier | c1       |
    Then "mail" resolves to courier's service at "caroni"

  Scenario: a mesh that returns in time keeps its names
    When thies is lost
    And 5 minutes pass
    And caroni publishes
      | name | owner   | contract |
      | mail | courier | c1       |
    And 2 minutes pass
    And thies returns
    Then "mail" resolves to post's service at "thies" by "earlier holder"
    And "mail" has the status "held"

  Scenario: a mesh returns with other services
    When thies is lost
    And 5 minutes pass
    And thies returns
    And thies publishes
      | name | owner | contract |
      | mail | post  | m1       |
      | feed | post  | f9       |
    Then "mail" resolves to post's service at "thies"
    And "feed" resolves to post's service at "thies" by "sole"

  Scenario: the name of a removed service becomes a tombstone
    When thies publishes
      | name | owner | contract |
      | chat | post  | c7       |
    Then "mail" has the status "tombstone"
    And "chat" resolves to post's service at "thies"

  Scenario: a service drains until its deadline
    When thies publishes
      | name | owner | contract | drains for |
      | mail | post  | m1       | 4          |
    Then "mail" has the status "draining"
    When 5 minutes pass
    Then "mail" has the status "tombstone"

  Scenario: a claim of an owner that the mesh may not use is rejected
    Given the meshes
      | mesh   | precedence | owners |
      | thies  | 1          | post   |
      | caroni | 3          | b      |
    When caroni publishes
      | name  | owner | contract |
      | mail2 | post  | x1       |
      | feed  | b     | f1       |
    Then "mail2" does not resolve
    And "feed" resolves to b's service at "caroni"
    And there is a finding "catalog/squatter" about "mail2"

  Scenario: an alias resolves to its target
    When thies publishes the alias "post-office" of "mail"
    Then "post-office" resolves to post's service at "thies"

  Scenario: a loop of aliases does not resolve, and other names do
    When thies publishes the alias "one" of "two"
    And thies publishes the alias "two" of "one"
    Then "one" does not resolve
    And "mail" resolves to post's service at "thies"
    And there is a finding "catalog/alias-loop" about "one"

  Scenario: a re-export that passes a mesh twice is rejected
    When dakar publishes
      | name | owner | contract | origin | via                  |
      | mail | post  | m1       | thies  | thies, caroni, thies |
    Then "mail" resolves to post's service at "thies"
    And there is a finding "catalog/re-export-loop" about "mail"

  Scenario Outline: a mesh publishes more services than its limit
    Given the meshes
      | mesh  | precedence | limit   |
      | thies | 1          | <limit> |
    When thies publishes 9 services
    Then <kept> of thies' services are in the catalog
    And there is a finding "catalog/over-limit" about "thies"

    Examples:
      | limit | kept |
      | 1     | 1    |
      | 8     | 8    |

  Scenario: a late publication of an earlier epoch is ignored
    When thies publishes in epoch 3
      | name | owner | contract |
      | mail | post  | m2       |
    And the catalog is merged
    And thies publishes in epoch 2
      | name | owner | contract |
      | chat | post  | c1       |
    Then "mail" resolves to post's service at "thies"
    And "chat" does not resolve

  Scenario: the merged catalog does not depend on the order of its inputs
    When dakar publishes
      | name | owner | contract |
      | feed | a     | f1       |
      | mail | post  | m1       |
    And caroni publishes
      | name | owner | contract |
      | feed | b     | f2       |
      | mail | c     | m9       |
    Then the catalog is the same in 20 other orders of its inputs

  Scenario: each proxy binds a route to a service for its own zone
    Given a fleet of 3 replicas and 4 proxies in the zones "thies, dakar"
    And dakar publishes
      | name | owner | contract |
      | mail | post  | m1       |
    When the operator proposes "key1" to "service:mail"
    Then all proxies act on version 1 within 6 s
    And p1 sends "key1" to "mail.thies"
    And p2 sends "key1" to "mail.dakar"
    And "mail" resolves alike at all proxies

  Scenario: a version with a route to an unknown service is withdrawn
    Given a fleet of 3 replicas and 3 proxies in the zones "thies"
    And the active version routes "key1" to "service:mail"
    When the operator proposes "key2" to "service:parcels"
    Then version 2 was withdrawn within 4 s
    And the withdrawal contains "parcels"
    And p1 sends "key1" to "mail.thies"

  Scenario: a name keeps its owner when another mesh publishes it
    Given a fleet of 3 replicas and 3 proxies in the zones "thies"
    And the active version routes "key1" to "service:mail"
    When caroni publishes
      | name | owner   | contract |
      | mail | courier | c1       |
    And the operator proposes "key2" to "service:mail.caroni"
    Then all proxies act on version 2 within 3 s
    And p1 sends "key1" to "mail.thies"
    And p1 sends "key2" to "mail.caroni"
    And "mail" resolves alike at all proxies
