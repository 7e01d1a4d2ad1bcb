/** Output as table, JSON or HTML. */
package org.cranberrybend.ctl.render;
