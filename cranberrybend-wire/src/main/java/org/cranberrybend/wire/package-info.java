/** Transport, membership and state replication between the project's own processes, on Netty and protobuf. */
package org.cranberrybend.wire;
