package wasabicommand

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

func (a *app) rulesCommand() *cobra.Command {
	return group("rules", "Explain rules", a.rulesExplain())
}

func (a *app) rulesExplain() *cobra.Command {
	var (
		query   wasabioperator.ExplainRequest
		account string
		model   string
		headers []string
		file    string
	)
	c := &cobra.Command{
		Use:   "explain",
		Short: "Show which rule a request matches, and why the earlier ones do not",
		Example: `  wasabictl rules explain --account liftwell --path /v1/completions --prompt-tokens 31000
  wasabictl rules explain --file config.json --account selam --path /tags --header X-Tool=van`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			query.Account, query.Model = wasabiridge.ClientAccountID(account), wasabiridge.ModelID(model)
			query.Headers = map[string]string{}
			for _, h := range headers {
				name, value, found := strings.Cut(h, "=")
				if !found {
					return wasabiridge.ErrInvalid.New("invalid header %q: expected NAME=VALUE", h)
				}
				query.Headers[name] = value
			}
			explanation, err := a.explain(c, query, file)
			if err != nil {
				return err
			}
			return a.show(explanation, func() error { return a.showExplanation(explanation) })
		},
	}
	flags := c.Flags()
	flags.StringVar(&account, "account", "", "client account")
	flags.StringVar(&query.Method, "method", "POST", "HTTP method")
	flags.StringVar(&query.Path, "path", "/v1/chat/completions", "path")
	flags.StringVar(&model, "model", "", "model named in the request")
	flags.StringSliceVar(&headers, "header", nil, "request header as NAME=VALUE; can be repeated")
	flags.IntVar(&query.PromptTokens, "prompt-tokens", 0, "estimated length of the prompt")
	flags.StringVar(&file, "file", "", "use this configuration file instead of the configuration in force")
	return c
}

func (a *app) explain(c *cobra.Command, q wasabioperator.ExplainRequest, file string) (wasabioperator.ExplainResponse, error) {
	if file == "" {
		client, err := a.client()
		if err != nil {
			return wasabioperator.ExplainResponse{}, err
		}
		return client.Explain(c.Context(), q)
	}
	text, _, err := a.readConfig(file)
	if err != nil {
		return wasabioperator.ExplainResponse{}, err
	}
	cfg, err := wasabirule.Parse(text)
	if err != nil {
		return wasabioperator.ExplainResponse{}, err
	}
	return wasabioperator.Explain(cfg, q), nil
}

func (a *app) showExplanation(e wasabioperator.ExplainResponse) error {
	t := newTable("RULE", "MATCHES", "WHY NOT")
	for _, line := range e.Lines {
		t.add(line.Rule, yesNo(line.Matches), orDash(line.Why))
	}
	if err := a.print(t); err != nil {
		return err
	}
	if e.Then != nil {
		fmt.Fprintf(a.Out, "\nRule %s decides: %s.\n", e.Rule, actionText(*e.Then))
	}
	for _, note := range e.Notes {
		fmt.Fprintf(a.Out, "Note: %s.\n", note)
	}
	return nil
}

func actionText(t wasabiridge.Action) string {
	if t.Refuse != "" {
		return "refuse with \"" + t.Refuse + "\""
	}
	parts := []string{"pool " + string(t.Pool)}
	if t.Model != "" {
		parts = append(parts, "model "+string(t.Model))
	}
	if t.Adapter != "" {
		parts = append(parts, "adapter "+string(t.Adapter))
	}
	if t.Weights != 0 {
		parts = append(parts, fmt.Sprintf("weights %d or newer", t.Weights))
	}
	if t.Objective != "" {
		parts = append(parts, "objective "+string(t.Objective))
	}
	if t.Priority != 0 {
		parts = append(parts, fmt.Sprintf("priority %d", t.Priority))
	}
	if t.NonIdempotent {
		parts = append(parts, "runs at most once")
	}
	for _, allowed := range []struct {
		on   bool
		name string
	}{{t.Retry, "retry"}, {t.Hedge, "hedge"}, {t.Resume, "resume"}} {
		if allowed.on {
			parts = append(parts, allowed.name+" allowed")
		}
	}
	if t.Fallback != "" {
		parts = append(parts, "fallback pool "+string(t.Fallback))
	}
	return strings.Join(parts, ", ")
}
