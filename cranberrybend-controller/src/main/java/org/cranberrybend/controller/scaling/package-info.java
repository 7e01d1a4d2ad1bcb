/** Demand-based scaling: collects the demand of a zone and plans upstream orders from it. */
package org.cranberrybend.controller.scaling;
