package org.cranberrybend.router.shard;

/**
 * One incarnation of an entry router that waits for a slot or has one in use.
 *
 * @param memberId member identifier
 * @param incarnation incarnation of the process; after a restart, the slots of the previous incarnation are not in use
 */
record Requester(String memberId, long incarnation) {}
