/** The rate at which upstreams that are warming up receive requests, divided among instances without a coordinator. */
package org.cranberrybend.core.slowstart;
