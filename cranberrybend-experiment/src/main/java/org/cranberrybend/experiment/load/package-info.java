/** Load tool: measures a router against a direct connection to an engine in the same run. */
package org.cranberrybend.experiment.load;
