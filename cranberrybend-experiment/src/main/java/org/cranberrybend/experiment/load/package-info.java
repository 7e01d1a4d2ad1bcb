/** Load tool that measures a router and, in the same run, an engine without the router for comparison. */
package org.cranberrybend.experiment.load;
