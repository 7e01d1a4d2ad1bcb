/**
 * Pool shards: the queues of the shards that this router owns, and the slots that this router asks of the owners.
 *
 * <p>Lock order: the dispatch queue lock of {@link org.cranberrybend.router.shard.ShardOwner}, then the lock of the
 * slots in use of {@link org.cranberrybend.router.shard.EntrySlots}. No message is sent while one is held.
 */
package org.cranberrybend.router.shard;
