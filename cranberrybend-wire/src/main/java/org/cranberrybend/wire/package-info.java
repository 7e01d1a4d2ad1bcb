/** Peer protocol of routers and controllers: transport, membership and state replication, on Netty and protobuf. */
package org.cranberrybend.wire;
