/**
 * Distributed slot allocation: as shard owner, a router queues requests and grants slots for its shards; as entry
 * router (the one that received a request from its caller), it requests slots from the shard owners.
 *
 * <p>Lock order: the dispatch queue lock of {@link org.cranberrybend.router.shard.ShardOwner}, then the lock of
 * {@link org.cranberrybend.router.shard.EntrySlots}. Messages are sent without holding either lock.
 */
package org.cranberrybend.router.shard;
