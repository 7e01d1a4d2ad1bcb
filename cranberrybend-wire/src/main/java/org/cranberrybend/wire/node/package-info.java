/** Membership and replicated state of one process: what routers and controllers share as members of the fleet. */
package org.cranberrybend.wire.node;
