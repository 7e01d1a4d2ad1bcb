/** Autoscaling: demand estimation and decisions on the number of upstreams. */
package org.cranberrybend.core.scaling;
