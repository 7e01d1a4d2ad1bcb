/** Polls the instance list of the platform. */
package org.cranberrybend.controller.upstream;
