/** Load of upstreams by outdated reports, and the choice among upstreams that are equally good as far as known. */
package org.cranberrybend.core.balancing;
