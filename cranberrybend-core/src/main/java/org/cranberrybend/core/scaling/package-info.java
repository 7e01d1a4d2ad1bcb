/** Decisions on how many upstreams run. */
package org.cranberrybend.core.scaling;
