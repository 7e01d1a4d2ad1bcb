/** Membership of the processes of the fleet: failure detection and gossip after SWIM. */
package org.cranberrybend.core.membership;
