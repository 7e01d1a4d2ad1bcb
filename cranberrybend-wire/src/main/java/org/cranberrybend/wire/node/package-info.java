/** Membership of one process in the fleet and the state that it replicates with its peers. */
package org.cranberrybend.wire.node;
