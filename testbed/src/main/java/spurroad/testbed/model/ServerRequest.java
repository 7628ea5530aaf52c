package spurroad.testbed.model;

import spurroad.testbed.scenario.Scenario.Track;

/**
 * One execution of an attempt, as a server receives it.
 *
 * @param id the id of the client's attempt
 * @param key the number of the cache key
 * @param track the request class
 * @param idempotencyKey of a deduplicated write; else empty
 * @param newConnection whether the connection was opened for this execution
 */
public record ServerRequest(String id, int key, Track track, String idempotencyKey, boolean newConnection) {}
