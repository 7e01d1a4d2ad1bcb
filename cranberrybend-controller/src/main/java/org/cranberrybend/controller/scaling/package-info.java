/** Collection of the zone's demand and the upstream orders that follow from it. */
package org.cranberrybend.controller.scaling;
