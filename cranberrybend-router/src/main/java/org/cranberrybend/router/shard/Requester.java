package org.cranberrybend.router.shard;

/**
 * The entry router that waits for a slot or uses one.
 *
 * @param memberId member identifier
 * @param incarnation run of the process; a replaced process no longer uses the slots of its predecessor
 */
record Requester(String memberId, long incarnation) {}
