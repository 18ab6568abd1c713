package medlarctlcmd

import (
	"errors"
	"net/url"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/internal/upstream/medlarhttp"
)

// routeFlags are the flags of the command route that are sent to the instance as arguments of the same names.
var routeFlags = []struct{ name, usage string }{
	{"host", "host of the request"},
	{"path", "path of the request"},
	{"account", "id of the client account"},
	{"key", "key of the client account, in place of --account"},
	{"model", "model of the prompt"},
	{"tokens", "prompt and completion tokens, N,M"},
	{"prefix", "parts of the prompt, ID:TOKENS,..."},
}

func routeCommand(o *options) *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:   "route STATUS-ADDRESS",
		Short: "Show where an attached instance would send a request now, and why, without sending it",
		Long: "Show where an attached instance would send a request now, and why, without sending it.\n" +
			"The instance answers from its own tables. Nothing is sent to a replica, and no token or count of requests changes.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if asJSON {
				o.output = "json"
			}
			query := url.Values{}
			for _, f := range routeFlags {
				if v, _ := cmd.Flags().GetString(f.name); v != "" {
					query.Set(f.name, v)
				}
			}
			v, err := o.askRoute(args[0], query)
			if err != nil {
				return err
			}
			return o.print(cmd, v)
		},
	}
	for _, f := range routeFlags {
		cmd.Flags().String(f.name, "", f.usage)
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object, as --output json")
	_ = cmd.MarkFlagRequired("host")
	_ = cmd.MarkFlagRequired("path")
	cmd.MarkFlagsMutuallyExclusive("account", "key")
	return cmd
}

// askRoute asks an instance at its status address where a request would go.
func (o *options) askRoute(address string, query url.Values) (v medlarreport.RouteVerdict, err error) {
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	call := medlarhttp.Request{Method: "GET", Address: medlarid.Address(address), Path: medlarreport.RoutePath + "?" + query.Encode(), Timeout: min(callTimeout, o.timeout)}
	resp, err := medlarhttp.New(idleTimeout).Do(call)
	var e *medlarhttp.Error
	switch {
	case errors.As(err, &e):
		return v, &Error{Op: OpRoute, Kind: KindUnavailable, Err: eris.Errorf("no answer from %s: %v", address, e.Err)}
	case err != nil:
		return v, err
	case resp.Status == statusUnavailable:
		return v, &Error{Op: OpRoute, Kind: KindUnavailable, Err: eris.New(string(resp.Body))}
	case resp.Status != statusOK:
		return v, &Error{Op: OpRoute, Kind: KindUsage, Err: eris.New(string(resp.Body))}
	}
	return decodeRoute(resp.Body)
}

// Statuses of an instance's answer.
const (
	statusOK          = 200
	statusUnavailable = 503
)

func decodeRoute(body []byte) (v medlarreport.RouteVerdict, err error) {
	if err := json.Unmarshal(body, &v); err != nil {
		return v, &Error{Op: OpRoute, Kind: KindUnavailable, Err: eris.Wrap(err, "the answer is no verdict")}
	}
	return v, nil
}
